/**
 * The command line: {@link poppynotch.app.Main} and one class for each subcommand. A server's
 * subcommand extends {@code ServerCommand}.
 */
package poppynotch.app;
