/** The pool of ranked slots on servers: state machines without I/O. */
package poppynotch.pool;
