# Functions that declare the project's libraries, programs and tests with one set of flags.

add_library(curranthoist_flags INTERFACE)
target_compile_options(curranthoist_flags INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
if(NOT CURRANTHOIST_PROGRAMS_ONLY)
    # Another compiler may warn of more; that must not stop the build of the programs.
    target_compile_options(curranthoist_flags INTERFACE -Werror)
endif()
# The programs' own version, for their command lines.
target_compile_definitions(curranthoist_flags INTERFACE
    CURRANTHOIST_VERSION="${PROJECT_VERSION}")
if(CURRANTHOIST_SANITIZE)
    # At -O2 -g a source takes about twice the processor time; -g1 still names the line of
    # every frame in a report.
    target_compile_options(curranthoist_flags INTERFACE -O1 -g1 -D_GLIBCXX_ASSERTIONS
        -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(curranthoist_flags INTERFACE -fsanitize=address,undefined)
    target_compile_definitions(curranthoist_flags INTERFACE CURRANTHOIST_SANITIZED)
endif()
if(CURRANTHOIST_FUZZ)
    # Linked with -fsanitize=fuzzer by the fuzz targets only, which brings its own main().
    target_compile_options(curranthoist_flags INTERFACE -O1
        -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all
        -fno-omit-frame-pointer)
    target_link_options(curranthoist_flags INTERFACE -fsanitize=address,undefined)
endif()

# curranthoist_library(name SOURCES a.cpp b.cpp DEPS other ...)
function(curranthoist_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
    if(arg_SOURCES)
        add_library(curranthoist_${name} STATIC ${arg_SOURCES})
        target_link_libraries(curranthoist_${name} PUBLIC ${arg_DEPS} PRIVATE curranthoist_flags)
    else()
        add_library(curranthoist_${name} INTERFACE)
        target_link_libraries(curranthoist_${name} INTERFACE ${arg_DEPS})
    endif()
endfunction()

# curranthoist_program(name SOURCES main.cpp DEPS curranthoist_base ...)
function(curranthoist_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPS} curranthoist_flags)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# curranthoist_test(name SOURCES a_test.cpp DEPS curranthoist_base ...)
# RUN_ALONE: no other test runs beside one of these.
function(curranthoist_test name)
    if(CURRANTHOIST_PROGRAMS_ONLY)
        return()
    endif()
    cmake_parse_arguments(arg "RUN_ALONE" "TIMEOUT" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPS} curranthoist_flags GTest::gtest_main GTest::gmock)
    if(NOT arg_TIMEOUT)
        set(arg_TIMEOUT 120)
    endif()
    gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60
        PROPERTIES TIMEOUT ${arg_TIMEOUT} RUN_SERIAL ${arg_RUN_ALONE})
endfunction()
