Feature: Discovery

  Scenario: Callers spread over the live entries, their own data centre first
    Given entries in two data centres, one of which leaves and one is dead
    When 300 callers of "dc-2" ask which entries to use
    Then no answer names an entry that leaves or is dead
    And each answer names the entries of "dc-2" first and states its lifetime
    And every live entry of "dc-2" comes first in at least 60 answers
