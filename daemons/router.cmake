add_executable(wisteriareel-router wisteriareel_router.cc)
target_link_libraries(wisteriareel-router PRIVATE
  wisteriareel_adapter wisteriareel_warnings ${DOCOPT_LIBRARY})
target_compile_definitions(wisteriareel-router PRIVATE
  WISTERIAREEL_VERSION="${PROJECT_VERSION}")
set_target_properties(wisteriareel-router PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR})
