#include "curranthoist/testing/fuzz/seeds.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

// Writes the seed inputs of every fuzz target into <folder>/<target>/. The settings are
// those in the folder <examples>.
int main(int count, char** arguments)
{
    if (count != 3) {
        std::cerr << "usage: fuzz_corpus <folder> <examples>\n";
        return 2;
    }
    for (const auto& [target, seeds] :
         curranthoist::testing::fuzz::all_seeds(arguments[2])) {
        const auto folder = std::filesystem::path(arguments[1]) / target;
        std::filesystem::create_directories(folder);
        int number = 0;
        for (const auto& seed : seeds) {
            std::ofstream file(folder / ("seed-" + std::to_string(++number)),
                               std::ios::binary);
            file.write(reinterpret_cast<const char*>(seed.data()),
                       static_cast<std::streamsize>(seed.size()));
        }
    }
    return 0;
}
