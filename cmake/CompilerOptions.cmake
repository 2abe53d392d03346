# Sets the language level, warnings, sanitizers and the compiler cache for all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
option(FIGLANDING_TESTS "Build tests, stand-ins and benchmarks" ON)
option(FIGLANDING_SANITIZE "Build with AddressSanitizer and UndefinedBehaviorSanitizer" OFF)

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror
                    -Wno-missing-field-initializers)
# Relative file names in the output let checkouts in different folders share one compiler cache.
add_compile_options(-ffile-prefix-map=${CMAKE_SOURCE_DIR}/=)
if(FIGLANDING_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
                        -fno-omit-frame-pointer -O1)
    add_link_options(-fsanitize=address,undefined)
endif()

find_program(CCACHE ccache)
if(CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()
