//go:build race

package balsam_test

// slowdown is by how much the race detector slows a program down, at the most.
const slowdown = 20
