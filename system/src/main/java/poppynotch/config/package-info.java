/** The operator's configuration: reading, checking, changing, look-ups. */
package poppynotch.config;
