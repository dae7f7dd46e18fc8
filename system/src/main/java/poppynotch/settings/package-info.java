/** The settings of one process, read from the TOML file that the platform writes. */
package poppynotch.settings;
