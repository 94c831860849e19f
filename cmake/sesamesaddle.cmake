# Dependencies and functions that all packages use.

find_package(tl-expected REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
# Linked statically: resolving the symbols of the shared library takes a third of
# a process's startup time.
find_library(THRIFT_ARCHIVE libthrift.a REQUIRED)
find_library(COAP_ARCHIVE libcoap-3-notls.a REQUIRED)
find_package(OpenSSL REQUIRED)

# sesamesaddle_library(NAME sources... LINK libraries...): a package's library.
function(sesamesaddle_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_UNPARSED_ARGUMENTS})
  target_include_directories(${name} PUBLIC include)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wno-unused-parameter
    -ffunction-sections -fdata-sections)
  target_link_libraries(${name} PUBLIC ${ARG_LINK} tl::expected)
endfunction()

# sesamesaddle_test(NAME sources... LINK libraries...): the one test program of
# a library, registered with CTest.
function(sesamesaddle_test name)
  if(NOT SESAMESADDLE_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK} catch_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  # A fixed seed, so that every run generates the same property-test cases.
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 600)
endfunction()

# Debian ships easylogging++ as a header and a source file, not as a library.
find_file(EASYLOGGING_SOURCE easylogging++.cc REQUIRED)
