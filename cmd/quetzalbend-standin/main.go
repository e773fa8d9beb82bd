// Command quetzalbend-standin.
package main

func main() {}
