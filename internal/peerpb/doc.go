// Package peerpb holds the generated messages between entry VMs.
package peerpb
