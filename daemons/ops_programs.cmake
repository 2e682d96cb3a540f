file(GLOB ctl_sources CONFIGURE_DEPENDS ctl/*.cc)
add_library(wisteriareel_ctl STATIC ${ctl_sources})
target_link_libraries(wisteriareel_ctl
  PUBLIC wisteriareel_rpc ${DOCOPT_LIBRARY}
  PRIVATE wisteriareel_warnings)
add_executable(wisteriareelctl wisteriareelctl.cc)
target_link_libraries(wisteriareelctl
  PRIVATE wisteriareel_ctl wisteriareel_warnings)
target_compile_definitions(wisteriareelctl PRIVATE
  WISTERIAREEL_VERSION="${PROJECT_VERSION}")
