#include "tests/standins/http_server.hpp"

#include <cstdio>

#include <unistd.h>

/// Executes the program given as arguments, which then ends with the deployment driver. The shipped programs
/// need this, because they do not end with their parent by themselves.
int main(int argc, char** argv)
{
    if (argc < 2)
    {
        std::fputs("usage: standin-launch PROGRAM [ARGUMENT...]\n", stderr);
        return 2;
    }
    siskinusher::standins::exit_with_parent(); // The setting survives execv.
    ::execv(argv[1], argv + 1);
    std::perror(argv[1]);
    return 127;
}
