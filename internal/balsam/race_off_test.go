//go:build !race

package balsam_test

// slowdown is by how much this build is slower than the program.
const slowdown = 1
