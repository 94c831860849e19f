#ifndef SESAMESADDLE_NET_H2O_H_
#define SESAMESADDLE_NET_H2O_H_

// h2o's headers are plain C. The standard headers that they include come first,
// so that these do not get C linkage.
#include <sys/socket.h>
#include <sys/un.h>

#include <cstdint>
#include <cstdio>
#include <cstring>

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}

#endif  // SESAMESADDLE_NET_H2O_H_
