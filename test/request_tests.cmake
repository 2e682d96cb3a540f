wisteriareel_test(request_service_test LIBRARIES wisteriareel_request rapidcheck
                      rapidcheck_gtest)
    wisteriareel_test(request_at_most_once_test LIBRARIES wisteriareel_request
                          rapidcheck rapidcheck_gtest)
        wisteriareel_test(request_stream_test LIBRARIES wisteriareel_request
                              rapidcheck rapidcheck_gtest)
            wisteriareel_test(request_row_batcher_test THREADED LIBRARIES
                                  wisteriareel_request)
                wisteriareel_test(
                    request_admission_test THREADED LIBRARIES
                        wisteriareel_request rapidcheck rapidcheck_gtest)
