#include <fstream>
#include <iterator>

#include <catch2/catch.hpp>

#include "teaseldrift/configuration/validation.hpp"
#include "teaseldrift/ctl/document_text.hpp"

namespace teaseldrift::ctl {

TEST_CASE("the example documents are valid")
{
    const std::string name = GENERATE("kinloch-baird", "crop-acreage");
    std::ifstream file(std::string(TEASELDRIFT_EXAMPLES) + "/" + name + ".jsonc");
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    schema::Configuration configuration;
    CHECK(parseDocument(text, configuration).empty());
    for (const ValidationError &error : validate(configuration)) {
        FAIL_CHECK(error.path << ": " << error.message);
    }
    CHECK(configuration.organisations_size() == 5);
}

} // namespace teaseldrift::ctl
