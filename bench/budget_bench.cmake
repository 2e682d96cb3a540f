find_package(benchmark REQUIRED)

add_executable(budget_manager_bench budget_manager_bench.cc)
target_link_libraries(budget_manager_bench PRIVATE wisteriareel_warnings
  wisteriareel_budget wisteriareel_fakes benchmark::benchmark)

add_executable(budget_experiment budget_experiment.cc budget_trace.cc
  budget_grant_model.cc budget_baselines.cc budget_run.cc budget_plot.cc token_experiment.cc)
target_link_libraries(budget_experiment PRIVATE wisteriareel_warnings
  budget_fleet token_fleet absl::str_format)

add_executable(budget_slopes budget_slopes.cc)
target_link_libraries(budget_slopes PRIVATE wisteriareel_warnings budget_fleet)
