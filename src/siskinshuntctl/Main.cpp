#include "experiment/Commands.h"

int main(int argc, char** argv) { return siskinshunt::runCommandLine(argc, argv); }
