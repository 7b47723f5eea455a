// Entry point of every unit test program. CppUTest's leak detector is switched
// off: it replaces operator new in this program only, while the protobuf
// library allocates and frees across that border.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
