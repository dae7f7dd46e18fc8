/** Reading of numbers that come from outside the program, each with the range it has here. */
package poppynotch.numbers;
