# Helpers that every package uses.

find_package(tl-expected REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
# Linked as an archive: resolving the symbols of the shared library takes a third
# of a process' start.
find_library(THRIFT_ARCHIVE libthrift.a REQUIRED)
find_package(OpenSSL REQUIRED)

# sesamesaddle_library(NAME sources... LINK libraries...)
function(sesamesaddle_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_UNPARSED_ARGUMENTS})
  target_include_directories(${name} PUBLIC include)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wno-unused-parameter)
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
  # Every run takes the same generated cases.
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 600)
endfunction()

# Debian ships easylogging++ as a source file beside its header.
find_file(EASYLOGGING_SOURCE easylogging++.cc REQUIRED)
