// Runs every registered CppUnit suite and prints one line for each test. An argument runs only the
// tests whose name contains it.

#include <cstdlib>
#include <iostream>
#include <string>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

void addMatching(CppUnit::TestRunner &runner, CppUnit::Test *test, const std::string &filter)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(filter) != std::string::npos) {
            runner.addTest(test);
        }
        return;
    }
    for (int index = 0; index < test->getChildTestCount(); ++index) {
        addMatching(runner, test->getChildTestAt(index), filter);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collector);
    events.addListener(&progress);

    // The runner owns the tests it is given, and the report below reads their names, so it lives to
    // the end.
    CppUnit::TestRunner runner;
    CppUnit::Test *suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    if (argc > 1) {
        addMatching(runner, suite, argv[1]);
    } else {
        runner.addTest(suite);
    }
    runner.run(events);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    if (collector.runTests() == 0) {
        std::cerr << "no test matched\n";
        return 1;
    }
    // With a filter, the suite and the runner share tests; ending here leaves them to the system.
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(collector.wasSuccessful() ? 0 : 1);
}
