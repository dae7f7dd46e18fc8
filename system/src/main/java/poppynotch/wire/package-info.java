/** What processes of the fleet say to each other. */
package poppynotch.wire;
