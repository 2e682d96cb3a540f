add_executable(wisteriareeld wisteriareeld.cc)
target_link_libraries(wisteriareeld PRIVATE
  wisteriareel_app wisteriareel_warnings ${DOCOPT_LIBRARY})
