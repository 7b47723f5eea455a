// Entry point of every unit test program. CppUTest's leak detector is switched
// off and its plugin left out: it records what static initializers allocate
// before main and walks those records after the protobuf library has freed
// them, which ends the program. The sanitizer build looks for leaks instead.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
