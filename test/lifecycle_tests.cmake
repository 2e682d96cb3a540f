wisteriareel_test(lifecycle_reconciler_test
  LIBRARIES wisteriareel_lifecycle wisteriareel_membership wisteriareel_config
            rapidcheck)
