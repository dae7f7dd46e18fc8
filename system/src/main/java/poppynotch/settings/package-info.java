/** One process's settings. */
package poppynotch.settings;
