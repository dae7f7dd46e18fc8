/**
 * The JSON configuration that operators write: reading, validating and patching it, and its
 * immutable form, by which requests are routed.
 */
package poppynotch.config;
