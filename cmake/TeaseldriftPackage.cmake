# teaseldrift_package(NAME DEPENDS lib...)
# Builds packages/NAME/src/**/*.cpp into the library teaseldrift-NAME, and each
# *_test.cpp into one test program, registered with CTest case by case.
function(teaseldrift_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "(_test|/main)\\.cpp$")
  add_library(teaseldrift-${NAME} STATIC ${sources})
  target_include_directories(teaseldrift-${NAME} PUBLIC include)
  target_compile_options(teaseldrift-${NAME} PRIVATE -Wall -Wextra -Wno-missing-field-initializers)
  target_link_libraries(teaseldrift-${NAME} PUBLIC ${ARG_DEPENDS})
  if(BUILD_TESTING AND tests)
    teaseldrift_test(${NAME}-test SOURCES ${tests} DEPENDS teaseldrift-${NAME} ${ARG_TEST_DEPENDS})
  endif()
endfunction()

# teaseldrift_test(NAME [SERIAL] SOURCES file... DEPENDS lib...)
# One Catch2 program, registered with CTest case by case. With SERIAL, no other test runs beside
# its cases.
function(teaseldrift_test NAME)
  cmake_parse_arguments(ARG "SERIAL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE -Wall -Wextra -Wno-missing-field-initializers)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} ${RAPIDCHECK} Catch2::Catch2WithMain)
  set(serial OFF)
  if(ARG_SERIAL)
    set(serial ON)
  endif()
  include(Catch)
  catch_discover_tests(${NAME} TEST_PREFIX "${NAME}: " DISCOVERY_MODE PRE_TEST
    PROPERTIES TIMEOUT 300 RUN_SERIAL ${serial} ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()
