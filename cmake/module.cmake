# jujubespan_module(<name> <dependency>...)
#
# Defines the library jujubespan::<name> from the sources in
# src/jujubespan/<name> or, if that folder does not exist, in the calling folder.
# With JUJUBESPAN_TESTS it also builds one test program from the *_test.cpp files
# in the same folder.
function(jujubespan_module name)
  set(dir ${PROJECT_SOURCE_DIR}/src/jujubespan/${name})
  if(NOT EXISTS ${dir})
    set(dir ${CMAKE_CURRENT_SOURCE_DIR})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp ${dir}/*.cc)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")

  set(target jujubespan_${name})
  add_library(${target} STATIC ${sources})
  add_library(jujubespan::${name} ALIAS ${target})
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include
    PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${target} PUBLIC ${ARGN} Threads::Threads)
  target_compile_options(${target} PRIVATE -Wall -Wextra)
  target_compile_definitions(${target} PUBLIC QT_NO_KEYWORDS)

  if(JUJUBESPAN_TESTS AND tests)
    add_executable(${target}_test ${tests})
    target_include_directories(${target}_test PRIVATE
      ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target}_test PRIVATE ${target} GTest::gtest_main)
    target_compile_options(${target}_test PRIVATE -Wall -Wextra)
    target_compile_definitions(${target}_test PRIVATE
      JUJUBESPAN_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${target}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
