# Build rules: one function for each kind of component.

# Defines the static library NAME from Libraries/NAME.
function(ferry_library NAME)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS")
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/Libraries/${NAME}/*.cpp)
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    target_include_directories(${NAME} PUBLIC
      $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/Libraries>)
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE
      $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/Libraries>)
    target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# Defines an installed program NAME from the sources in FOLDER.
function(ferry_program NAME FOLDER)
  cmake_parse_arguments(PARSE_ARGV 2 ARG "" "" "DEPENDS")
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cpp)
  list(REMOVE_ITEM SOURCES ${CMAKE_SOURCE_DIR}/${FOLDER}/main.cpp)
  if(NOT EXISTS ${CMAKE_SOURCE_DIR}/${FOLDER}/main.cpp OR NOT SOURCES)
    return()
  endif()
  # Everything but main() is in a library, so that tests can link it.
  add_library(${NAME}Parts STATIC ${SOURCES})
  target_include_directories(${NAME}Parts PUBLIC ${CMAKE_SOURCE_DIR}/Services
    ${CMAKE_SOURCE_DIR}/Utilities)
  target_link_libraries(${NAME}Parts PUBLIC ${ARG_DEPENDS})
  add_executable(${NAME} ${CMAKE_SOURCE_DIR}/${FOLDER}/main.cpp)
  target_link_libraries(${NAME} PRIVATE ${NAME}Parts)
  target_compile_definitions(${NAME} PRIVATE FERRY_VERSION="${PROJECT_VERSION}")
  install(TARGETS ${NAME} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()

# Defines LibPlatform from platform/ and links it into ferryd. It uses types of
# ferryd and of the libraries, and ferryd uses it; both are static libraries, so the
# cycle links.
function(ferry_platform)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
  add_library(LibPlatform STATIC ${SOURCES})
  target_include_directories(LibPlatform PUBLIC ${CMAKE_SOURCE_DIR}
    ${CMAKE_SOURCE_DIR}/Services)
  target_link_libraries(LibPlatform PUBLIC LibTraffic LibControl LibRouting LibConfig
    LibObserve LibCore)
  target_include_directories(ferrydParts PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(ferrydParts PUBLIC LibPlatform)
endfunction()

set(FERRY_ALL_LIBRARIES LibTraffic LibAdmission LibControl LibRouting LibCache LibRegistry
  LibMembership LibConsensus LibWire LibConfig LibObserve LibCore)

# Defines a Boost.Test program and a ctest entry for each Tests/LibX/TestY.cpp.
# Tests/Fakes has the fake targets, Tests/Support the shared helpers.
function(ferry_tests)
  file(GLOB SUPPORT CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Tests/Support/*.cpp)
  if(SUPPORT)
    add_library(TestSupport STATIC ${SUPPORT})
    target_include_directories(TestSupport PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
    target_compile_definitions(TestSupport PRIVATE
      FERRY_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
    target_link_libraries(TestSupport PUBLIC ${FERRY_ALL_LIBRARIES})
  endif()
  file(GLOB FAKES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Tests/Fakes/Fake*.cpp)
  if(FAKES)
    add_library(FakeTargets STATIC ${FAKES})
    target_include_directories(FakeTargets PUBLIC ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(FakeTargets PUBLIC LibCore LibCache Poco::Net Poco::JSON
      Poco::Foundation)
    if(TARGET TestSupport)
      target_link_libraries(TestSupport PUBLIC FakeTargets)
    endif()
    add_executable(ferryfake ${CMAKE_SOURCE_DIR}/Tests/Fakes/FerryFake.cpp)
    target_link_libraries(ferryfake PRIVATE FakeTargets)
  endif()
  # ferryd on a slow disk.
  add_executable(ferryd-slow-disk ${CMAKE_SOURCE_DIR}/Services/ferryd/main.cpp
    ${CMAKE_SOURCE_DIR}/Tests/SlowDisk/SlowSyncs.cpp)
  target_link_libraries(ferryd-slow-disk PRIVATE ferrydParts)
  target_compile_definitions(ferryd-slow-disk PRIVATE FERRY_VERSION="${PROJECT_VERSION}")
  target_link_options(ferryd-slow-disk PRIVATE -Wl,--wrap=fsync,--wrap=fdatasync)
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Tests/*/Test*.cpp)
  foreach(TEST_SOURCE ${TESTS})
    get_filename_component(FOLDER ${TEST_SOURCE} DIRECTORY)
    get_filename_component(FOLDER ${FOLDER} NAME)
    if(FOLDER STREQUAL "Support" OR FOLDER STREQUAL "Fakes")
      continue()
    endif()
    get_filename_component(TEST_NAME ${TEST_SOURCE} NAME_WE)
    add_executable(${TEST_NAME} ${TEST_SOURCE})
    target_include_directories(${TEST_NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    # -O1 makes the tests compile in a third less time; the code under test keeps its
    # own optimisation level.
    target_compile_options(${TEST_NAME} PRIVATE -O1)
    target_compile_definitions(${TEST_NAME} PRIVATE BOOST_TEST_DYN_LINK
      BOOST_TEST_MODULE=${TEST_NAME}
      FERRY_SOURCE_DIR="${CMAKE_SOURCE_DIR}" FERRY_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
    target_link_libraries(${TEST_NAME} PRIVATE ${FERRY_ALL_LIBRARIES}
      Boost::unit_test_framework)
    foreach(PARTS FakeTargets TestSupport ferrydParts ferryctlParts)
      if(TARGET ${PARTS})
        target_link_libraries(${TEST_NAME} PRIVATE ${PARTS})
      endif()
    endforeach()
    add_test(NAME ${TEST_NAME} COMMAND ${TEST_NAME})
    set_tests_properties(${TEST_NAME} PROPERTIES TIMEOUT 240)
    if(FOLDER STREQUAL "System" OR FOLDER STREQUAL "Soak")
      # Each of these tests runs a whole cluster of processes.
      add_dependencies(${TEST_NAME} ferryd ferryd-slow-disk ferryfake)
      set_tests_properties(${TEST_NAME} PROPERTIES RUN_SERIAL TRUE)
    endif()
  endforeach()
endfunction()

# Defines a program for each Benchmarks/BenchY.cpp.
function(ferry_benchmarks)
  file(GLOB BENCHES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Benchmarks/Bench*.cpp)
  foreach(SOURCE ${BENCHES})
    get_filename_component(BENCH_NAME ${SOURCE} NAME_WE)
    add_executable(${BENCH_NAME} ${SOURCE})
    target_include_directories(${BENCH_NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(${BENCH_NAME} PRIVATE ${FERRY_ALL_LIBRARIES})
    foreach(PARTS FakeTargets TestSupport)
      if(TARGET ${PARTS})
        target_link_libraries(${BENCH_NAME} PRIVATE ${PARTS})
      endif()
    endforeach()
  endforeach()
endfunction()

# Defines a program and a ctest entry for each Examples/Example*.cpp; they link the
# coordination libraries only.
function(ferry_examples)
  file(GLOB EXAMPLES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Examples/Example*.cpp)
  foreach(SOURCE ${EXAMPLES})
    get_filename_component(EXAMPLE_NAME ${SOURCE} NAME_WE)
    add_executable(${EXAMPLE_NAME} ${SOURCE})
    target_link_libraries(${EXAMPLE_NAME} PRIVATE LibRegistry LibMembership LibConsensus
      LibWire LibCore)
    add_test(NAME ${EXAMPLE_NAME} COMMAND ${EXAMPLE_NAME})
  endforeach()
endfunction()

# Defines the libFuzzer program NAME from Tests/Fuzz if FERRY_FUZZ is on; needs clang.
function(ferry_fuzzer NAME)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS")
  if(NOT FERRY_FUZZ)
    return()
  endif()
  add_executable(${NAME} EXCLUDE_FROM_ALL ${CMAKE_SOURCE_DIR}/Tests/Fuzz/${NAME}.cpp)
  target_compile_options(${NAME} PRIVATE -fsanitize=fuzzer)
  target_link_options(${NAME} PRIVATE -fsanitize=fuzzer)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
endfunction()
