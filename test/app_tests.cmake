add_library(fleet_fixture STATIC fleet_fixture.cc)
target_link_libraries(fleet_fixture
  PUBLIC wisteriareel_app wisteriareel_standins GTest::gtest
  PRIVATE wisteriareel_warnings)
wisteriareel_test(daemon_test THREADED LIBRARIES fleet_fixture)
# Uninstrumented libraries that synchronise out of ThreadSanitizer's sight are
# left out for this test only; it alone runs gRPC under the sanitizer.
set_property(TEST daemon_test APPEND PROPERTY ENVIRONMENT
  "TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/.ci/tsan_suppressions.txt ignore_noninstrumented_modules=1")
