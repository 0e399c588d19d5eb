// Runs a RapidCheck property inside a CppUnit test and prints the shrunk counterexample on failure.
//
//     checkProperty("a decoded message equals the encoded one",
//                   [](const std::string &text) { ... });

#pragma once

#include <sstream>
#include <string>
#include <utility>

#include <cppunit/Message.h>
#include <cppunit/TestAssert.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/Results.h>

namespace jackdawweir::test {

template<typename Testable>
void checkProperty(const std::string &description, Testable &&testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    const rc::detail::TestResult outcome
        = rc::detail::checkTestable(std::forward<Testable>(testable), metadata);
    if (!outcome.template is<rc::detail::SuccessResult>()) {
        std::ostringstream text;
        rc::detail::printResultMessage(outcome, text);
        CPPUNIT_FAIL(description + ": " + text.str());
    }
}

} // namespace jackdawweir::test
