// The main function of Catch2, compiled once for all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
