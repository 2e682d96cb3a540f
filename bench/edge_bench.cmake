# docs/design/http.md describes the measurement of the HTTP edges with it.
add_executable(edge_relay edge_relay.cc)
target_link_libraries(edge_relay PRIVATE
  wisteriareel_http wisteriareel_config wisteriareel_warnings)
