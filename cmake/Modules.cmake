# jackdawweir_module(name deps...) builds src/<name>/*.cpp as a static library and
# test/<name>/*_test.cpp as one CppUnit program registered with CTest. Sources are globbed so that a new
# file needs no change here.

# g++ 12 reports -Wrestrict for plain assignments of string literals (GCC bug 105651).
set(JACKDAWWEIR_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-restrict -Werror)

# The file of known failing tests. The test programs skip and print the tests in its lines "test: NAME".
set(JACKDAWWEIR_KNOWN_RED "JACKDAWWEIR_KNOWN_RED=${CMAKE_SOURCE_DIR}/KNOWN-RED.txt")

function(jackdawweir_compile_settings target)
  target_compile_options(${target} PRIVATE ${JACKDAWWEIR_WARNINGS})
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/include)
endfunction()

# Builds test/<name>/*_test.cpp as one CppUnit program registered with CTest.
function(jackdawweir_module_test name library)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${name}/*_test.cpp)
  if(tests)
    add_executable(${name}_test ${tests} ${CMAKE_SOURCE_DIR}/test/support/test_main.cpp)
    jackdawweir_compile_settings(${name}_test)
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test)
    target_link_libraries(${name}_test PRIVATE ${library} PkgConfig::CPPUNIT rapidcheck)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 600 ENVIRONMENT
                                               "RC_PARAMS=seed=20261204;${JACKDAWWEIR_KNOWN_RED}")
  endif()
endfunction()

function(jackdawweir_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
  set(library jackdawweir_${name})
  if(sources)
    add_library(${library} STATIC ${sources})
    jackdawweir_compile_settings(${library})
    target_include_directories(${library} PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${library} PUBLIC ${ARGN} Threads::Threads)
  else()
    add_library(${library} INTERFACE)
    target_include_directories(${library} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(${library} INTERFACE ${ARGN} Threads::Threads)
  endif()

  if(JACKDAWWEIR_TESTS)
    jackdawweir_module_test(${name} ${library})
  endif()
endfunction()

# Builds src/<folder>/*.cpp as the program <name>.
function(jackdawweir_program folder name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${folder}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  jackdawweir_compile_settings(${name})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(
    ${name} PRIVATE jackdawweir_settings jackdawweir_source jackdawweir_distribution jackdawweir_membership
                    jackdawweir_transport jackdawweir_proxy jackdawweir_console cxxopts::cxxopts)
endfunction()

# Builds each bench/<name>_bench.cpp as a program of that name. Benches are run by hand, not by CTest.
function(jackdawweir_benches)
  file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*_bench.cpp)
  foreach(source ${benches})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    jackdawweir_compile_settings(${name})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(
      ${name} PRIVATE jackdawweir_source jackdawweir_distribution jackdawweir_membership jackdawweir_moves
                      jackdawweir_request jackdawweir_forwarding jackdawweir_ledger jackdawweir_proxy cxxopts::cxxopts)
  endforeach()
endfunction()

# Builds test/platform_process/*.cpp as platform_process_test, which runs mesh processes as children.
function(jackdawweir_platform_process_test)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/platform_process/*.cpp)
  add_executable(
    platform_process_test ${sources} ${CMAKE_SOURCE_DIR}/test/process/child_process.cpp
                          ${CMAKE_SOURCE_DIR}/test/process/time_limit.cpp
                          ${CMAKE_SOURCE_DIR}/test/support/test_main.cpp)
  jackdawweir_compile_settings(platform_process_test)
  target_include_directories(platform_process_test PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(platform_process_test PRIVATE jackdawweir_wire Boost::log PkgConfig::CPPUNIT)
  add_dependencies(platform_process_test jackdawweir-platform)
  add_test(NAME platform_process_test COMMAND platform_process_test)
  set_tests_properties(platform_process_test PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE
                                                        ENVIRONMENT "${JACKDAWWEIR_KNOWN_RED}")
endfunction()

# Builds test/caller_crowd/*.cpp as caller_crowd_test, which measures the memory of mesh processes under many callers.
function(jackdawweir_caller_crowd_test)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/caller_crowd/*.cpp)
  add_executable(
    caller_crowd_test ${sources} ${CMAKE_SOURCE_DIR}/test/process/child_process.cpp
                      ${CMAKE_SOURCE_DIR}/test/process/time_limit.cpp ${CMAKE_SOURCE_DIR}/test/support/test_main.cpp)
  jackdawweir_compile_settings(caller_crowd_test)
  target_include_directories(caller_crowd_test PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(caller_crowd_test PRIVATE jackdawweir_wire Boost::log PkgConfig::CPPUNIT)
  add_dependencies(caller_crowd_test jackdawweir-platform)
  add_test(NAME caller_crowd_test COMMAND caller_crowd_test)
  set_tests_properties(caller_crowd_test PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE ENVIRONMENT "${JACKDAWWEIR_KNOWN_RED}")
endfunction()

# Builds test/platform_soak/*.cpp as mesh_soak, which injects faults into mesh processes. CTest runs eight fixed
# seeds for a few seconds each, and two seeds each that failed with faults of the links and with cuts; longer runs
# are made by hand.
function(jackdawweir_mesh_soak)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/platform_soak/*.cpp)
  add_executable(mesh_soak ${sources} ${CMAKE_SOURCE_DIR}/test/process/child_process.cpp)
  jackdawweir_compile_settings(mesh_soak)
  target_include_directories(mesh_soak PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(mesh_soak PRIVATE jackdawweir_wire Boost::log cxxopts::cxxopts)
  add_dependencies(mesh_soak jackdawweir-platform)
  add_test(NAME mesh_soak COMMAND mesh_soak --seeds 1,2,6,12,16,38,62,63 --seconds 6)
  add_test(NAME mesh_soak_links COMMAND mesh_soak --seeds 1202,1203 --seconds 40 --faults links)
  add_test(NAME mesh_soak_cuts COMMAND mesh_soak --seeds 3101,3102,4165,4182 --seconds 25 --faults cuts)
  add_test(NAME mesh_soak_evacuations COMMAND mesh_soak --seeds 2101 --seconds 15 --faults evacuations)
  set_tests_properties(mesh_soak mesh_soak_links mesh_soak_cuts mesh_soak_evacuations PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE)
  # CTest reports a test as disabled if KNOWN-RED.txt has a line "ctest: NAME" for it.
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt knownRed REGEX "^ctest: ")
  list(TRANSFORM knownRed REPLACE "^ctest: " "")
  foreach(test ${knownRed})
    set_tests_properties(${test} PROPERTIES DISABLED TRUE)
  endforeach()
endfunction()

# Builds test/process/*.cpp as process_test, which runs the built programs as child processes. It runs alone,
# since its bounds on failure detection need the processor time that other tests would take.
function(jackdawweir_process_test)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/process/*.cpp)
  add_executable(process_test ${sources} ${CMAKE_SOURCE_DIR}/test/support/test_main.cpp)
  jackdawweir_compile_settings(process_test)
  target_include_directories(process_test PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(process_test PRIVATE jackdawweir_cli jackdawweir_transport PkgConfig::CPPUNIT)
  add_dependencies(process_test jackdawweird jackdawweir-stand-in)
  add_test(NAME process_test COMMAND process_test)
  set_tests_properties(process_test PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE ENVIRONMENT "${JACKDAWWEIR_KNOWN_RED}")
endfunction()
