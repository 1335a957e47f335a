# papayarack_module(NAME SOURCES ... USES ... TESTS ...)
# One static library for each module, and one test program for its tests.
function(papayarack_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES;TESTS" ${ARGN})
  add_library(papayarack_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(papayarack_${name} PUBLIC papayarack_options ${ARG_USES})
  if(ARG_TESTS)
    add_executable(${name}_tests ${ARG_TESTS} ${PROJECT_SOURCE_DIR}/src/global/tests/testmain.cpp)
    target_link_libraries(${name}_tests PRIVATE papayarack_${name} Catch2::Catch2
                          ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT
                         "RC_PARAMS=seed=20261202 max_success=100")
  endif()
endfunction()
