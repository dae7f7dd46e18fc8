/** The command line. */
package poppynotch.app;
