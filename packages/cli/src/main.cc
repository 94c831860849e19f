// sesamesaddle: the command-line client for operators.

#include <csignal>
#include <string>
#include <vector>

#include "cli/client.h"

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  return sesamesaddle::RunClient(std::vector<std::string>(argv, argv + argc));
}
