add_library(fleet_fixture STATIC fleet_fixture.cc)
target_link_libraries(fleet_fixture
  PUBLIC wisteriareel_app wisteriareel_standins GTest::gtest
  PRIVATE wisteriareel_warnings)
wisteriareel_test(daemon_test THREADED LIBRARIES fleet_fixture)
