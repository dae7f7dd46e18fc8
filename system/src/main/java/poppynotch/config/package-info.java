/**
 * The configuration that operators write in JSON: reading, checking and patching it, and the
 * immutable form of it that requests are routed by.
 */
package poppynotch.config;
