# Functions that declare the packages, programs, tests and fuzz targets of the workspace.

add_library(siskinshunt_flags INTERFACE)
target_compile_options(siskinshunt_flags INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # GCC 12 reports false positives of these two warnings on std::string concatenation and std::optional at -O2.
    target_compile_options(siskinshunt_flags INTERFACE -Wno-restrict -Wno-maybe-uninitialized)
endif()
target_compile_definitions(siskinshunt_flags INTERFACE SISKINSHUNT_VERSION="${PROJECT_VERSION}" BOOST_ALL_DYN_LINK BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED)
target_include_directories(siskinshunt_flags INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(siskinshunt_flags INTERFACE Boost::headers Threads::Threads)
if(SISKINSHUNT_SANITIZE)
    target_compile_options(siskinshunt_flags INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(siskinshunt_flags INTERFACE -fsanitize=address,undefined)
endif()
if(SISKINSHUNT_THREAD_SANITIZE)
    # GCC warns that the sanitizer does not support the memory fences in Asio; Asio uses them in addition to locks.
    target_compile_options(siskinshunt_flags INTERFACE -fsanitize=thread $<$<CXX_COMPILER_ID:GNU>:-Wno-tsan>)
    target_link_options(siskinshunt_flags INTERFACE -fsanitize=thread)
endif()
if(SISKINSHUNT_FUZZ)
    # The packages need coverage counters as well, because libFuzzer is guided only by instrumented code.
    target_compile_options(siskinshunt_flags INTERFACE -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(siskinshunt_flags INTERFACE -fsanitize=address,undefined)
    add_custom_target(fuzz)
endif()

# siskinshunt_package(NAME [libraries...]): static library siskinshunt_NAME of all sources in the current folder.
function(siskinshunt_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(siskinshunt_${name} STATIC ${sources})
    target_link_libraries(siskinshunt_${name} PUBLIC siskinshunt_flags ${ARGN})
    set_property(GLOBAL APPEND PROPERTY SISKINSHUNT_PACKAGES siskinshunt_${name})
endfunction()

# siskinshunt_program(NAME [libraries...]): program NAME of all sources in the current folder.
function(siskinshunt_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE siskinshunt_flags ${ARGN})
endfunction()

# Sets OUT to the arguments that skip the cases which KNOWN-RED.txt lists for the test NAME ("boost NAME: CASE").
function(siskinshunt_known_red name out)
    set(arguments)
    if(EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
        set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
        file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines REGEX "^boost ${name}: ")
        foreach(line ${lines})
            string(REGEX REPLACE "^boost ${name}: " "" case ${line})
            list(APPEND arguments "--run_test=!${case}")
        endforeach()
    endif()
    set(${out} ${arguments} PARENT_SCOPE)
endfunction()

# siskinshunt_test(NAME [libraries...]): Boost.Test program of all sources in the current folder, run by ctest as NAME. The suites in
# the variable SISKINSHUNT_SEPARATE_SUITES (names joined by commas) are left out of it; see siskinshunt_test_suites().
function(siskinshunt_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    set(main ${CMAKE_CURRENT_BINARY_DIR}/main.cpp)
    file(CONFIGURE OUTPUT ${main} CONTENT "#define BOOST_TEST_MODULE ${name}\n#include <boost/test/unit_test.hpp>\n")
    add_executable(test_${name} ${main} ${sources})
    target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(test_${name} PRIVATE siskinshunt_flags Boost::unit_test_framework ${ARGN})
    siskinshunt_known_red(${name} passedOver)
    if(SISKINSHUNT_SEPARATE_SUITES)
        list(PREPEND passedOver "--run_test=!${SISKINSHUNT_SEPARATE_SUITES}")
    endif()
    add_test(NAME ${name} COMMAND test_${name} --color_output=no ${passedOver})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# siskinshunt_test_suites(NAME PART SUITES): runs these suites of the test program NAME as NAME_PART, so that they take no time of NAME.
function(siskinshunt_test_suites name part suites)
    siskinshunt_known_red(${name} passedOver)
    add_test(NAME ${name}_${part} COMMAND test_${name} --color_output=no "--run_test=${suites}" ${passedOver})
    set_tests_properties(${name}_${part} PROPERTIES TIMEOUT 300)
endfunction()

# siskinshunt_fuzz(NAME SOURCE [libraries...]): libFuzzer program fuzz_NAME; built only with SISKINSHUNT_FUZZ and clang.
function(siskinshunt_fuzz name source)
    if(NOT SISKINSHUNT_FUZZ)
        return()
    endif()
    add_executable(fuzz_${name} ${source})
    target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
    target_link_libraries(fuzz_${name} PRIVATE siskinshunt_flags ${ARGN})
    add_dependencies(fuzz fuzz_${name})
endfunction()
