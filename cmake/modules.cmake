# wisteriareel_module(NAME [DEPENDS ...]) builds src/NAME/*.cc as the static
# library wisteriareel_NAME.
function(wisteriareel_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  set(lib wisteriareel_${name})
  if(sources)
    add_library(${lib} STATIC ${sources})
    set(scope PUBLIC)
    target_link_libraries(${lib} PRIVATE wisteriareel_warnings)
  else()
    add_library(${lib} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${lib} ${scope}
    ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR})
  target_link_libraries(${lib} ${scope}
    absl::strings absl::time absl::hash absl::flat_hash_map absl::flat_hash_set
    absl::synchronization Threads::Threads ${ARG_DEPENDS})
  if(NOT name STREQUAL base)
    target_link_libraries(${lib} ${scope} wisteriareel_base)
  endif()
endfunction()

# wisteriareel_test(NAME [THREADED] LIBRARIES ...) builds test/NAME.cc and
# registers it with ctest with a fixed seed for property tests. THREADED marks
# tests that CI also runs under ThreadSanitizer.
function(wisteriareel_test name)
  cmake_parse_arguments(ARG "THREADED" "" "LIBRARIES" ${ARGN})
  add_executable(${name} ${name}.cc)
  target_link_libraries(${name} PRIVATE
    wisteriareel_warnings GTest::gtest GTest::gmock GTest::gtest_main
    wisteriareel_fakes ${ARG_LIBRARIES})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200"
    TIMEOUT 300)
  if(ARG_THREADED)
    set_tests_properties(${name} PROPERTIES LABELS threaded)
    set_property(GLOBAL APPEND PROPERTY WISTERIAREEL_THREADED_TESTS ${name})
  endif()
endfunction()
