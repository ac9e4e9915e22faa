#ifndef AZURESPINDLE_TESTS_SUPPORT_SUITE_H
#define AZURESPINDLE_TESTS_SUPPORT_SUITE_H

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

/// Registers a fixture under the stem of its file, by which ctest runs it.
#define REGISTER_SUITE(Fixture, stem) CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(Fixture, stem)

#endif
