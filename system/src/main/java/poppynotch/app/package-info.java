/**
 * The command line: {@link poppynotch.app.Main} and one class for each subcommand. Subcommands that
 * run a server extend {@code ServerCommand}.
 */
package poppynotch.app;
