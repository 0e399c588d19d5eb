// The program jackdawweir, with which operators change and monitor a deployment.

#include <iostream>
#include <string>
#include <vector>

#include <curl/curl.h>

#include "jackdawweir/cli/cli.h"

int main(int argc, char **argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const int exitCode = jackdawweir::cli::runCommand(arguments, std::cout, std::cerr);
    curl_global_cleanup();
    return exitCode;
}
