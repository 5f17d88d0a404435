//go:build cgo

package main

/*
#include <stdlib.h>
*/
import "C" // links the program against the system's C library, which the users' machines require
