// Runs the test suites that are named on the command line: azurespindle-tests SUITE...

#include "journal/journal.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>

int main(int count, char **values)
{
    std::signal(SIGPIPE, SIG_IGN);
    azurespindle::journal::openLog(azurespindle::settings::LogFormat::Text, "/dev/null", "tests",
                                   azurespindle::journal::Severity::Error);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    for (int index = 1; index < count; ++index) {
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(values[index]).makeTest());
    }
    runner.run(controller);
    CppUnit::CompilerOutputter(&results, std::cerr).write();
    const int failed = results.testFailuresTotal();
    std::cout << results.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && results.runTests() > 0 ? 0 : 1;
}
