# Programs for tests and trials; not part of a deployment.
add_executable(wisteriareel-standin wisteriareel_standin.cc)
target_link_libraries(wisteriareel-standin PRIVATE
  wisteriareel_standins wisteriareel_warnings ${DOCOPT_LIBRARY})
target_compile_definitions(wisteriareel-standin PRIVATE
  WISTERIAREEL_VERSION="${PROJECT_VERSION}")

add_executable(wisteriareel-load wisteriareel_load.cc)
target_link_libraries(wisteriareel-load PRIVATE
  wisteriareel_standins wisteriareel_warnings ${DOCOPT_LIBRARY})
target_compile_definitions(wisteriareel-load PRIVATE
  WISTERIAREEL_VERSION="${PROJECT_VERSION}")
