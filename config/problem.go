package config

import "github.com/yuccaroute/yuccaroute/config/inifile"

// Problem is one fault of a document, with its place and permitted values.
type Problem = inifile.Problem

// Problems is every fault found, as one error.
type Problems = inifile.Problems
