find_package(benchmark REQUIRED)

# Checks the stated targets with a simulated clock and a fixed seed, so that the
# result does not depend on the machine.
add_executable(request_policy_bench
  request_policy_bench.cc request_load_model.cc)
target_link_libraries(request_policy_bench PRIVATE wisteriareel_warnings
  wisteriareel_request wisteriareel_fakes)

add_executable(request_path_bench request_path_bench.cc)
target_link_libraries(request_path_bench PRIVATE wisteriareel_warnings
  wisteriareel_request wisteriareel_fakes benchmark::benchmark)
