# Helpers that define all libraries, programs and test programs in a uniform way.

function(coppervalve_compile_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion)
  if(COPPERVALVE_WARNINGS_AS_ERRORS)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(COPPERVALVE_SANITIZE)
    target_compile_options(${target} PUBLIC -fsanitize=address,undefined -fno-omit-frame-pointer)
    target_link_options(${target} PUBLIC -fsanitize=address,undefined)
  endif()
endfunction()

# coppervalve_library(<area> DEPS <targets...>)
# Sources: src/<area>/*.cc; headers: include/coppervalve/<area>/*.h;
# test program: unit-<area> from tests/<area>/*.cc (one test program per library).
function(coppervalve_library area)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${area}/*.cc)
  if(NOT sources)
    add_library(coppervalve_${area} INTERFACE)
    target_link_libraries(coppervalve_${area} INTERFACE ${ARG_DEPS})
    target_include_directories(coppervalve_${area} INTERFACE ${CMAKE_SOURCE_DIR}/include)
  else()
    add_library(coppervalve_${area} STATIC ${sources})
    target_include_directories(coppervalve_${area} PUBLIC ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(coppervalve_${area} PUBLIC ${ARG_DEPS})
    coppervalve_compile_options(coppervalve_${area})
  endif()

  coppervalve_unit_test(${area} ${ARG_TEST_DEPS} coppervalve_${area})
endfunction()

# The one test program of a library: unit-<area> from tests/<area>/*.cc.
function(coppervalve_unit_test area)
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${area}/*.cc)
  if(NOT tests OR NOT COPPERVALVE_BUILD_TESTS)
    return()
  endif()
  add_executable(unit-${area} ${tests} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cc)
  target_include_directories(unit-${area} PRIVATE ${CMAKE_SOURCE_DIR}/tests/support)
  # CppUTest replaces `new` by a macro, which breaks placement new in the library headers.
  target_compile_definitions(unit-${area} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED CPPUTEST_USE_MEM_LEAK_DETECTION=0)
  target_link_libraries(unit-${area} PRIVATE ${ARGN} CppUTest CppUTestExt)
  coppervalve_compile_options(unit-${area})
  add_test(NAME unit-${area} COMMAND unit-${area} $<TARGET_PROPERTY:unit-${area},COPPERVALVE_OWN_GROUPS>
    COMMAND_EXPAND_LISTS)
  set_tests_properties(unit-${area} PROPERTIES TIMEOUT 600)
endfunction()

# coppervalve_test_group(<area> <group> <name>): runs one group of a test program as a test
# of its own, unit-<name>, so that KNOWN-RED.txt can list it alone.
function(coppervalve_test_group area group name)
  if(NOT TARGET unit-${area})
    return()
  endif()
  get_property(excluded TARGET unit-${area} PROPERTY COPPERVALVE_OWN_GROUPS)
  # CppUTest leaves out only the tests that several such options name together.
  if(excluded)
    message(FATAL_ERROR "unit-${area} has a group of its own already: ${excluded}")
  endif()
  set_property(TARGET unit-${area} PROPERTY COPPERVALVE_OWN_GROUPS -xsg ${group})
  add_test(NAME unit-${name} COMMAND unit-${area} -sg ${group})
  set_tests_properties(unit-${name} PROPERTIES TIMEOUT 600)
endfunction()

# coppervalve_program(<name> <folder> <targets...>): an executable from <folder>/*.cc.
function(coppervalve_program name folder)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN} coppervalve_core)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  coppervalve_compile_options(${name})
endfunction()

# coppervalve_adapter(<folder> DEPS <targets...>): a library from a top-level folder
# that translates between the product and one environment in which it runs; test
# program: unit-<folder> from tests/<folder>/*.cc.
function(coppervalve_adapter folder)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc)
  add_library(coppervalve_${folder} STATIC ${sources})
  target_include_directories(coppervalve_${folder} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(coppervalve_${folder} PUBLIC ${ARG_DEPS})
  coppervalve_compile_options(coppervalve_${folder})
  coppervalve_unit_test(${folder} coppervalve_${folder})
endfunction()
