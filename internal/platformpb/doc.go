// Package platformpb holds the generated messages of the platform's service.
package platformpb
