/// Prints docs/RESULT_CODES.md from the schema.

#include <iostream>

#include "teaseldrift/schema/result.hpp"

int main()
{
    std::cout << teaseldrift::schema::resultCodesPage();
    return 0;
}
