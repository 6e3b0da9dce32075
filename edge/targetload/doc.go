// Package targetload keeps what a VM knows of the load of targets that state it in their answers: the
// requests at a target, its slots, and its pace, that is, how long work takes there at this moment.
// It does no I/O and takes the time as an argument.
//
// A statement is exact when it is made and loses its value within some tenths of a second. Counts
// hold until reports of other VMs are newer. How long a stated pace holds is learned for each service
// by Persistence.
package targetload
