# papayarack_module(NAME SOURCES ... USES ... TESTS ...)
# One static library for each module, and one test program for its tests. The
# program's main is a library too, so that it is compiled and linted once.
add_library(papayarack_testmain STATIC ${PROJECT_SOURCE_DIR}/src/global/tests/testmain.cpp)
target_link_libraries(papayarack_testmain PUBLIC papayarack_options Catch2::Catch2)
set_target_properties(papayarack_testmain PROPERTIES EXCLUDE_FROM_ALL TRUE)
function(papayarack_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES;TESTS" ${ARGN})
  add_library(papayarack_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(papayarack_${name} PUBLIC papayarack_options ${ARG_USES})
  if(ARG_TESTS)
    add_executable(${name}_tests ${ARG_TESTS})
    target_link_libraries(${name}_tests PRIVATE papayarack_testmain papayarack_${name}
                          Catch2::Catch2 ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT
                         "RC_PARAMS=seed=20261202 max_success=100")
  endif()
endfunction()
