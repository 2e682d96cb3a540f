wisteriareel_test(routing_selector_test LIBRARIES wisteriareel_request
                      rapidcheck rapidcheck_gtest)
