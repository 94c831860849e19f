#include "cli/client.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>

#include "command/table.h"
#include "core/endpoint.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "schema/codec.h"
#include "schema/readable_json.h"

namespace sesamesaddle {
namespace {

constexpr char kThriftJson[] = "application/vnd.apache.thrift.json";
// Exceeds the time (5 s) after which the daemon reports a change's outcome as
// unknown.
constexpr Duration kReplyTimeoutMargin = std::chrono::seconds(10);

struct ClientOptions {
  std::string server = "127.0.0.1:7300";
  std::string token_file;
  std::string author;
  std::vector<std::string> words;
  bool json = false;
  bool wait = false;
  int timeout_ms = 6000;
};

std::string NewChangeId() {
  constexpr size_t kIdBytes = 20;
  char digits[kIdBytes];
  snprintf(digits, sizeof(digits), "%016llx",
           static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
               SystemSeed()));
  return digits;
}

/** Sends commands to a daemon and prints its replies. */
class Client {
 public:
  Client(ClientOptions options, const Endpoint& server, std::string token)
      : options_(std::move(options)),
        server_(server),
        token_(std::move(token)) {}

  ClientExitCode Run(const std::string& command) {
    const std::string change_id = NewChangeId();
    const auto result = Send(command, change_id);
    if (!result || !result->complete) return ReportNoReply(result, change_id);
    const HttpResponse& response = result->response;
    if (response.status != 200) {
      std::cerr << "sesamesaddle: the daemon responded with status "
                << response.status << ": " << response.body;
      return ClientExitCode::kUsage;
    }
    const auto reply = DecodeJson<schema::CommandReply>(response.body);
    if (!reply) {
      std::cerr << "sesamesaddle: the reply from the daemon is invalid\n";
      return ClientExitCode::kNoConnection;
    }
    Print(command, *reply);
    return ToExitCode(reply->outcome);
  }

 private:
  std::optional<HttpResult> Send(const std::string& command,
                                 const std::string& change_id) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/command";
    request.query = "change_id=" + change_id + "&author=" + options_.author;
    if (options_.wait) {
      request.query += "&wait_ms=" + std::to_string(options_.timeout_ms);
    }
    request.headers["accept"] = kThriftJson;
    if (!token_.empty()) request.headers["authorization"] = "Bearer " + token_;
    request.body = command;
    std::optional<HttpResult> result;
    EventLoop loop(clock_);
    HttpClient http(loop, server_);
    const auto call =
        http.Call(request, ConnectionUse::kFresh, [&](HttpResult received) {
          result = std::move(received);
          loop.Stop();
        });
    const auto timer = loop.After(
        std::chrono::milliseconds(options_.timeout_ms) + kReplyTimeoutMargin,
        [&loop] { loop.Stop(); });
    loop.Run();
    return result;
  }

  static ClientExitCode ReportNoReply(const std::optional<HttpResult>& result,
                                      const std::string& change_id) {
    if (result && result->failure == HttpFailure::kNotSent) {
      std::cerr << "sesamesaddle: the daemon cannot be reached; nothing was "
                   "changed\n";
      return ClientExitCode::kNoConnection;
    }
    std::cerr << "sesamesaddle: outcome unknown, the reply was lost; ask with: "
                 "show changes where change = "
              << change_id << "\n";
    return ClientExitCode::kOutcomeUnknown;
  }

  void Print(const std::string& command,
             const schema::CommandReply& reply) const {
    if (options_.json) {
      std::cout << EncodeReadableJson(reply) << std::endl;
      return;
    }
    const bool syntax = reply.outcome == schema::CommandOutcome::kSyntaxError;
    (syntax ? std::cerr : std::cout)
        << FormatReply(command, reply) << std::flush;
  }

  static ClientExitCode ToExitCode(schema::CommandOutcome::type outcome) {
    switch (outcome) {
      case schema::CommandOutcome::kDone:
      case schema::CommandOutcome::kAccepted:
        return ClientExitCode::kDone;
      case schema::CommandOutcome::kRefused:
        return ClientExitCode::kRefused;
      case schema::CommandOutcome::kOutcomeUnknown:
        return ClientExitCode::kOutcomeUnknown;
      case schema::CommandOutcome::kSyntaxError:
        return ClientExitCode::kUsage;
    }
    return ClientExitCode::kUsage;
  }

  ClientOptions options_;
  Endpoint server_;
  std::string token_;
  SteadyClock clock_;
};

ClientExitCode RunPrompt(Client& client) {
  const bool interactive = isatty(STDIN_FILENO) != 0;
  auto highest = ClientExitCode::kDone;
  std::string line;
  while (true) {
    if (interactive) std::cout << "sesamesaddle> " << std::flush;
    if (!std::getline(std::cin, line)) return highest;
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    if (line == "quit" || line == "exit") return highest;
    highest = std::max(highest, client.Run(line));
  }
}

int UsageError(const std::string& message) {
  std::cerr << "sesamesaddle: " << message << "\n";
  return static_cast<int>(ClientExitCode::kUsage);
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

}  // namespace

std::string FormatReply(const std::string& command,
                        const schema::CommandReply& reply) {
  if (reply.__isset.column) {
    const size_t column = static_cast<size_t>(std::max(1, reply.column));
    return command + "\n" + std::string(column - 1, ' ') + "^\n" + "column " +
           std::to_string(column) + ": " + reply.message + "\n";
  }
  if (reply.__isset.table) return FormatTable(reply.table);
  const bool ends = !reply.message.empty() && reply.message.back() == '\n';
  return reply.message + (ends ? "" : "\n");
}

int RunClient(const std::vector<std::string>& arguments) {
  ClientOptions options;
  const char* user = std::getenv("USER");
  options.author = user == nullptr ? "operator" : user;
  CLI::App app("Asks a daemon of sesamesaddle and changes its configuration.",
               "sesamesaddle");
  app.set_version_flag("--version", std::string("sesamesaddle 0.1.0"));
  app.add_option("--server", options.server, "ADDRESS:PORT of a daemon's API")
      ->envname("SESAMESADDLE_SERVER")
      ->capture_default_str();
  app.add_option("--token-file", options.token_file,
                 "File with the bearer token; or SESAMESADDLE_ADMIN_TOKEN")
      ->envname("SESAMESADDLE_TOKEN_FILE");
  app.add_option("--author", options.author, "Name recorded with a change")
      ->envname("SESAMESADDLE_AUTHOR")
      ->capture_default_str();
  app.add_flag("--json", options.json, "Print replies as JSON");
  app.add_flag("--wait", options.wait,
               "Return once the change is in force everywhere");
  app.add_option("--timeout-ms", options.timeout_ms,
                 "Longest time --wait takes, in milliseconds")
      ->check(CLI::Range(1, 60000))
      ->capture_default_str();
  app.add_option("command", options.words,
                 "The command; without one, a prompt reads standard input");
  app.footer("Send the command help to see the language.");
  std::vector<std::string> reversed(arguments.begin() + 1, arguments.end());
  std::reverse(reversed.begin(), reversed.end());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(ClientExitCode::kUsage);
  }
  const auto server = Endpoint::Parse(options.server);
  if (!server) {
    return UsageError("--server (SESAMESADDLE_SERVER): " +
                      std::string(Describe(server.error())));
  }
  std::string token;
  if (const char* variable = std::getenv("SESAMESADDLE_ADMIN_TOKEN")) {
    token = variable;
  }
  if (!options.token_file.empty()) {
    std::ifstream file(options.token_file);
    if (!(file >> token)) {
      return UsageError(
          "--token-file (SESAMESADDLE_TOKEN_FILE): no token can be "
          "read from \"" +
          options.token_file + "\"");
    }
  }
  const std::string command = Join(options.words);
  Client client(std::move(options), *server, std::move(token));
  const ClientExitCode exit_code =
      command.empty() ? RunPrompt(client) : client.Run(command);
  return static_cast<int>(exit_code);
}

}  // namespace sesamesaddle
